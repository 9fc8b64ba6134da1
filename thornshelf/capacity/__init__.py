"""Capacity planning: cost curves fitted to measurements, their values at the target size, and the report page."""
