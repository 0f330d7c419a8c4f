# Sourced by the mutation tests: breaks one mechanism at a time, in a copy of the repository.
# The sourcing script first sets `targets` (what to build), and defines `holds`, which runs the test and succeeds if the
# test passes, and `reason`, which prints from run.log why the test failed. With CHECK_ONLY=1 nothing is built or run: each
# mutation's text must be found in its file.
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | tar cf - -T - | tar xf - -C "$copy"
cd "$copy" || exit 1
# A mutation may leave a variable or function unused, which must not fail the build.
sed -i 's/ -Werror//' CMakeLists.txt
[ -n "${CHECK_ONLY:-}" ] || cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld >/dev/null
survivors=0
# mutate WHAT FILE FROM TO [FROM TO]...: replaces the first FROM in FILE by TO, and expects the test to fail.
mutate() {
    local what=$1 file=$2
    shift 2
    [[ $what =~ ${ONLY:-.} ]] || return 0
    cp "$file" "$file.orig"
    while [ $# -gt 0 ]; do
        if ! MUTATE_FROM=$1 perl -0ne 'exit(!/\Q$ENV{MUTATE_FROM}\E/)' "$file"; then
            echo "STALE     $what: nothing to change in $file"
            survivors=$((survivors + 1))
            mv "$file.orig" "$file"
            return
        fi
        MUTATE_FROM=$1 MUTATE_TO=$2 perl -0pi -e 's/\Q$ENV{MUTATE_FROM}\E/$ENV{MUTATE_TO}/' "$file"
        shift 2
    done
    if [ -n "${CHECK_ONLY:-}" ]; then
        mv "$file.orig" "$file"
        return
    fi
    touch "$file"
    # shellcheck disable=SC2154
    if ! cmake --build build --target $targets >build.log 2>&1; then
        echo "NO BUILD  $what"
        grep -m 3 error: build.log
        survivors=$((survivors + 1))
    elif holds >run.log 2>&1; then
        echo "SURVIVED  $what"
        survivors=$((survivors + 1))
    else
        echo "caught    $what: $(reason)"
    fi
    mv "$file.orig" "$file"
    touch "$file"
}
