#!/usr/bin/env bash
# Checks each specification with spin. A specification passes when it holds as
# it stands, and when each of its variants without one guard (-DNO_GUARD_X) or
# without one assumption (-DNO_ASSUMPTION_X) violates an assertion: a check that
# can't fail proves nothing.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify FILE [DEFINE...]: prints what spin found: "holds", the assertion that
# is violated, or another error such as a deadlock.
verify() {
	local spec=$PWD/$1
	shift
	(
		cd "$work"
		spin -a "$@" "$spec" >spin.log 2>&1 || { cat spin.log >&2; exit 1; }
		gcc -O0 -DSAFETY -DCOLLAPSE -o pan pan.c 2>gcc.log || { cat gcc.log >&2; exit 1; }
		./pan -m1000000 >pan.log 2>&1 || { cat pan.log >&2; exit 1; }
		if grep -q 'max search depth too small' pan.log; then cat pan.log >&2; exit 1; fi
		if grep -q 'errors: 0$' pan.log; then
			echo holds
		else
			grep '^pan:1:' pan.log
		fi
	)
}

failed=0
for file in *.pml; do
	found=$(verify "$file")
	echo "model $file: $found"
	if [ "$found" != holds ]; then
		failed=1
	fi
	variants=$(grep -oE 'NO_(GUARD|ASSUMPTION)_[A-Z]+' "$file" | sort -u || true)
	if [ -z "$variants" ]; then
		echo "model $file: FAILED, has no guard to remove"
		failed=1
	fi
	for variant in $variants; do
		found=$(verify "$file" "-D$variant")
		if [[ "$found" == *"assertion violated"* ]]; then
			echo "model $file: fails with $variant, as it must"
		else
			echo "model $file: FAILED, with $variant it should violate an assertion: $found"
			failed=1
		fi
	done
done
exit $failed
