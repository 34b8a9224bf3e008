//! Logs and metrics of the primrosepin processes
