#!/usr/bin/env bash
# Installs what build and tests need on a fresh Debian 12.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build ccache pkg-config git python3 clang-format clang-tidy \
  libboost1.81-dev libboost-test1.81-dev libboost-system1.81-dev \
  libcoap3-dev libcoap3-bin libzmq3-dev cppzmq-dev libprotobuf-dev libtclap-dev libspdlog-dev \
  nlohmann-json3-dev libopentracing-dev libxxhash-dev libsodium-dev \
  libbenchmark-dev libzstd-dev
