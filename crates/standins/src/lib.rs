//! Small stand-ins of the log service, a backend server and a fault-injecting TCP proxy.
