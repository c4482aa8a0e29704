//! The `hemlockd` daemon and the `hemlockctl` command line for operators.
