//! The HTTP server loop, bounded bodies and problem documents that the processes share.
//!
//! ```
//! use masticcross_basics::Code;
//! use masticcross_http::Problem;
//!
//! let problem = Problem::new(Code::UnknownTeam, true, "team \"x\" is not configured");
//! assert_eq!(problem.status().as_u16(), 403);
//! ```

pub mod body;
pub mod problem;
pub mod server;

pub use body::{BodyError, full_body, read_body, read_json};
pub use problem::Problem;
pub use server::{HttpLimits, HttpServer};
