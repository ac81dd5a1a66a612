//! HTTP, RPC, metrics and logging behind savorykeel's ports.
