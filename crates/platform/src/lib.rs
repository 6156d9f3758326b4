//! Client of the platform, the configuration service that publishes lists.
//!
//! The platform is read-only. `Platform` is the interface, which tests replace by fakes;
//! `HttpPlatform` is the implementation for production.

mod backoff;
mod call_limit;
mod http_platform;
mod http_platform_config;
mod list_error;
mod platform;
mod platform_error;
mod target_list;
mod vm_list;
mod wire;

pub use backoff::{Backoff, BackoffConfig};
pub use http_platform::HttpPlatform;
pub use http_platform_config::HttpPlatformConfig;
pub use list_error::ListError;
pub use platform::{Changes, Platform, PublishedList};
pub use platform_error::{PlatformError, PlatformErrorKind};
pub use target_list::{TargetInfo, TargetState, parse_targets};
pub use vm_list::{VmInfo, VmState, parse_vms};
