// A plug-in: what it returns is all that it can do. Nothing returned means no objection.

// Asked before a message is taken on. job has id, class, dest, size, left_ms, label.
fn admit(job) {
    if job.size > 2000 {
        return #{ refuse: true, after_ms: 5000 };
    }
    if job.class == "disruption-notice" {
        return #{ left_ms: 3000, label: "short-lived" };
    }
}

// Asked after each outcome that does not end the job. outcome has kind, may_have_run, tries, node.
fn outcome(job, outcome) {
    if outcome.kind == "error" && outcome.tries >= 3 {
        return #{ refuse: true, label: "three-errors" };
    }
}
