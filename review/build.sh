#!/usr/bin/env bash
# Builds the stand-ins of the cases on the libraries of target/, into
# review/out/. Run the build of the deploy file before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/out
includes=()
for folder in packages/*/include; do
  includes+=("-I$folder")
done
g++ -std=c++20 -O2 "${includes[@]}" -Itesting review/standin/mesh_standin.cpp \
  testing/standin/[A-Z]*.cpp \
  target/packages/http/libporttiller_http.a \
  target/packages/config/libporttiller_config.a \
  target/packages/core/libporttiller_core.a \
  -lPocoNet -lPocoJSON -lPocoUtil -lPocoFoundation -lhttp_parser -lxxhash -lzstd \
  -lpthread -o review/out/mesh_standin
