//! The proving ground's command.

fn main() {}
