// Example plug-in. It acts only through its return values; returning nothing accepts the default.

// Called before a message is accepted. job has the fields id, class, dest, size, left_ms, label.
fn admit(job) {
    if job.size > 2000 {
        return #{ refuse: true, after_ms: 5000 };
    }
    if job.class == "disruption-notice" {
        return #{ left_ms: 3000, label: "short-lived" };
    }
}

// Called after each outcome that does not end the job. outcome has the fields kind, may_have_run, tries, node.
fn outcome(job, outcome) {
    if outcome.kind == "error" && outcome.tries >= 3 {
        return #{ refuse: true, label: "three-errors" };
    }
}
