//! Stand-in model engine and plain service with their own records and faults on request
