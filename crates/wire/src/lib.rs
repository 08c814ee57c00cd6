//! Authenticated postcard frames between instances over UDP and TCP.
