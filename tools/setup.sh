#!/bin/sh
# Installs the Debian packages needed to build and check ragwortline, if any is
# missing.  Requires root (or sudo) only in that case.
set -eu
packages="gcc make libc6-dev pkg-config libevent-dev libevhtp-dev
 libmsgpack-dev libjansson-dev liblog4c-dev libcunit1-dev libxxhash-dev
 uthash-dev libssl-dev clang-format-14 clang-tidy-14 procps python3"
missing=
for p in $packages; do
  dpkg-query -W -f '${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
as=
[ "$(id -u)" -eq 0 ] || as=sudo
$as apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as apt-get install -y -qq \
  --no-install-recommends $missing >/dev/null
