//! State charts read from data files and interpreted.
