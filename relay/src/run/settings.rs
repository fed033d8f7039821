//! All settings that a start or a reload needs, read and checked together: nothing of them is used if a part is invalid.
use std::net::SocketAddr;
use std::path::Path;

use crate::config::{self, HookTable, PlatformConfig, PushConfig, RelayConfig};

/// The settings of a process.
pub struct Settings {
    /// `None` if the platform front is not enabled.
    pub platform: Option<PlatformConfig>,
    /// The relay's own file; the defaults if there is none.
    pub relay: RelayConfig,
    /// Where the operators' calls are answered, if anywhere.
    pub admin: Option<SocketAddr>,
}

impl Settings {
    /// Reads the environment and both files.
    ///
    /// # Errors
    /// A text that names the key at fault.
    pub fn load(file: Option<&Path>) -> Result<Settings, String> {
        let platform = config::load_platform_config()?;
        let relay = file.map(config::load_relay_config).transpose()?.unwrap_or_default();
        if platform.is_none() && relay.push.is_none() {
            let message =
                "no front is configured: set BALANCER_CONFIG or name a file with [push] (--config FILE)";
            return Err(message.into());
        }
        let admin_of_platform = platform.as_ref().and_then(|platform| platform.admin);
        let admin = config::admin_address_from_env()?.or(admin_of_platform).or(relay.admin);
        let mut settings = Settings { platform, relay, admin };
        if let Some(platform) = &mut settings.platform {
            settings.relay.idle.apply(&mut platform.rules);
        }
        settings.check_folders()?;
        Ok(settings)
    }

    /// The push front's settings, if it is enabled.
    pub fn push(&self) -> Option<&PushConfig> {
        self.relay.push.as_ref()
    }

    pub fn hook(&self) -> Option<&HookTable> {
        self.relay.hook.as_ref()
    }

    /// Names of all classes, for the figures.
    pub fn classes(&self) -> impl Iterator<Item = &String> {
        let platform = self.platform.as_ref().map(|platform| &platform.rules);
        let push = self.push().map(|push| &push.rules);
        platform.into_iter().chain(push).flat_map(|rules| &rules.names.classes)
    }

    /// Checks that the fronts use different state folders. Paths that do not exist yet are compared as they are written; the lock
    /// on the folder finds the rest.
    fn check_folders(&self) -> Result<(), String> {
        let (Some(platform), Some(push)) = (&self.platform, self.push()) else { return Ok(()) };
        let resolved = |folder: &Path| folder.canonicalize().unwrap_or_else(|_| folder.to_owned());
        match resolved(&platform.state) == resolved(&push.state) {
            true => Err(format!("push.state: {} is the platform front's folder", push.state.display())),
            false => Ok(()),
        }
    }
}
