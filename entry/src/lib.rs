//! Entry process: callers' HTTP, relay to targets, announcements and health
