//! Fault matrix, stateful fuzzing and process tests
