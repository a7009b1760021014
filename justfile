# Everything that CI checks.
ci:
    bash .ci/run

# The quick start on loopback.
quickstart:
    ./quickstart
