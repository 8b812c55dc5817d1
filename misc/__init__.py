"""Scripts for maintainers: demo, measurements, test runner, mutation testing."""
