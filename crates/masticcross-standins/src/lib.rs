//! Stand-ins for the platform and for backend servers, and experiments with the policy. Not shipped.

pub mod experiment;
