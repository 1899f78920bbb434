#!/bin/sh
# Builds the programs of deploy/system.toml from the sources that are there, whatever the times of
# their files. Cargo takes sources that are older than its last build for unchanged, and sources that
# are unpacked or copied over a build folder with their own times are. So a digest of their contents
# is passed, which every program is built again for when it changes, and which every program names.
set -eu
cd "$(dirname "$0")/.."

sources_digest() {
    # Tests and examples are no part of the programs.
    find Cargo.toml Cargo.lock crates platform -type f \
        ! -path '*/tests/*' ! -path '*/examples/*' -print0 |
        LC_ALL=C sort -z | xargs -0 sha256sum | sha256sum | cut -c 1-16
}

digest=$(sources_digest)
RWR_SOURCES=$digest cargo build --release --locked -p platform --target-dir target

# Programs that may hold two states of the sources, or another state than they name, must not start.
for program in platform-entry platform-hub; do
    named=$("target/release/$program" --version)
    if [ "${named##*sources=}" != "$digest" ] || [ "$(sources_digest)" != "$digest" ]; then
        rm -f target/release/platform-entry target/release/platform-hub
        echo "deploy/build.sh: $program says \"$named\" and the sources are $(sources_digest);" \
            "they changed while they were built: build again" >&2
        exit 1
    fi
done
