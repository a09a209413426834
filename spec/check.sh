#!/usr/bin/env bash
# Checks every model exhaustively, and checks that removing any single guard
# yields a counterexample. With the argument "full", the failover model is also
# checked with logs of up to 4 entries, the acknowledgement model with logs of 2
# and with each guard of its variant with SEPARATE and KEEPS, and the membership model with a host that
# restarts beside a replica that starts again.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# explore MODEL OPTIONS... prints the number of errors and the number of stored
# states, one per line. Most of the time of a small model goes into compiling it, so
# that $optimize is lower where few states are expected.
optimize=-O2
explore() {
  local model=$1
  shift
  local dir
  dir=$(mktemp -d -p "$work")
  cp "$model" "$dir/"
  (
    cd "$dir"
    spin -a "$@" "$model" >spin.out 2>&1 || { cat spin.out >&2; exit 1; }
    gcc -w $optimize -DSAFETY -DCOLLAPSE -DMEMLIM=8000 -o pan pan.c
    # -E ignores invalid end states: the bounds of the models end every run.
    ./pan -E -m100000 >out 2>&1 || true
    if grep -q 'max search depth too small\|out of memory\|reached -DMEMLIM' out; then
      echo "incomplete" >&2
      exit 1
    fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' out
    sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' out
  )
}

# holds MODEL OPTIONS... fails if the model has a counterexample or was
# not explored completely.
holds() {
  local got
  mapfile -t got < <(explore "$@")
  if [ "${got[0]:-}" != 0 ]; then
    echo "FAILED: $* has a counterexample, or was not explored"
    exit 1
  fi
  echo "holds: $* (${got[1]} states)"
}

# breaks MODEL OPTIONS... fails unless the model has a counterexample.
breaks() {
  local got optimize=-O1
  mapfile -t got < <(explore "$@")
  if [ "${got[0]:-}" != 1 ]; then
    echo "FAILED: $* has no counterexample: the check proves nothing"
    exit 1
  fi
  echo "breaks, as it must: $* (${got[1]} states)"
}

holds failover.pml -DLEN=3
holds failover.pml -DLEN=3 -DREQUESTS
if [ "${1:-}" = full ]; then
  holds failover.pml -DLEN=4
  holds failover.pml -DLEN=4 -DREQUESTS
fi
for guard in NO_MAJORITY_ACK NO_FENCE NO_NONCE NO_LAST_ENTRY_CHOICE NO_LAST_ENTRY_EVIDENCE NO_TOKEN_TERM NO_CLAMP; do
  breaks failover.pml -DLEN=4 -D$guard
done
for guard in NO_RECORD NO_TOMBSTONE; do
  breaks failover.pml -DLEN=4 -DREQUESTS -D$guard
done

holds template.pml
for guard in NO_OPERATION_ID NO_BASE_VERSION NO_REVISION_ORDER; do
  breaks template.pml -D$guard
done
holds switch.pml
for guard in NO_PAUSE ONE_PAUSE ANY_REPLICA NO_WAIT NO_MISSING NO_AHEAD NO_DEMOTE NO_WORD LATE_CLAIM RESTART; do
  breaks switch.pml -D$guard
done
for options in "" -DLOSES_LOG "-DSEPARATE -DKEEPS" -DUNREGISTERED -DSINGLE -DEARLY_POSITIONS; do
  # shellcheck disable=SC2086 # several options
  holds acknowledge.pml $options
done
if [ "${1:-}" = full ]; then
  holds acknowledge.pml -DLEN=2
  holds acknowledge.pml -DSEPARATE -DKEEPS -DLOSES_LOG
  for guard in NO_EVIDENCE UNRECORDED LATE_CLAIM NO_WAIT SHORT_WAIT NO_SECOND_LOOK ANY_PAUSE REPEATED_PAUSE NO_RECORD_LOOK NO_LEASE; do
    breaks acknowledge.pml -DSEPARATE -DKEEPS -D$guard
  done
  breaks acknowledge.pml -DSEPARATE -DKEEPS -DANY_COPY -DOLD_LIST
  holds membership.pml -DREBORN -DCOMMITS=2 -DSTARTS=1
  breaks membership.pml -DREBORN -DCOMMITS=2 -DSTARTS=1 -DFORGETS
fi
for guard in NO_EVIDENCE SEPARATE LATE_ANSWER UNRECORDED LATE_CLAIM NO_WAIT SHORT_WAIT NO_SECOND_LOOK ANY_PAUSE REPEATED_PAUSE NO_RECORD_LOOK \
  NO_LEASE PASSED_OVER PUT_BACK; do
  breaks acknowledge.pml -D$guard
done
for assumption in UNREGISTERED OLD_LIST; do
  breaks acknowledge.pml -DANY_COPY -D$assumption
done
for guard in NO_COVER LATE_COVER; do
  breaks acknowledge.pml -DLOSES_LOG -D$guard
done
breaks acknowledge.pml -DSEPARATE -DKEEPS_TO_EFFECT
breaks acknowledge.pml -DSEPARATE -DKEEPS -DSINGLE
holds read.pml
for guard in SEPARATE ONE_WORD UNRECORDED LATE_CLAIM SHORT_WAIT EARLY_END; do
  breaks read.pml -D$guard
done
holds era.pml
for guard in NO_SETTLE NO_PROOF NO_TOKEN_ERA; do
  breaks era.pml -D$guard
done
holds membership.pml
for guard in NO_EARLIER STRIKE_EARLY OLD_POSITION ANY_ANSWER; do
  breaks membership.pml -D$guard
done
holds membership.pml -DREBORN -DCOMMITS=2 -DSTARTS=0
for guard in NO_LOG_CHECK BACKS UNSEEN; do
  breaks membership.pml -DREBORN -DCOMMITS=2 -DSTARTS=0 -D$guard
done
echo "the models hold, and every guard is needed"
