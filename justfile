# Run all CI checks.
ci:
    bash .ci/run

# Run the quick start on loopback.
quickstart:
    ./quickstart
