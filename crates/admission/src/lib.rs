//! Limits, the fair queue by workspace and the retry budget.
