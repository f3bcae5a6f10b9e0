#!/usr/bin/env bash
# Links the kit's companions of a site beside ours, under names that git ignores. Without a kit it says so and does nothing.
set -euo pipefail
cd "$(dirname "$0")"
kit=../../../given/kit/sites
if [ ! -d "$kit" ]; then
    echo "deploy/sites/link.sh: no kit beside the repository ($kit): nothing to link, and nothing to play these sites with"
    exit 0
fi
for name in real.json wire.json unlock.txt design.json; do
    ln -sfn "$kit/$name" "$name"
done
