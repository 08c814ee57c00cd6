//! Steering: look-up answers, plans and contingencies.
