//! The command line of the operators.
