# Sourced by the cases' run.sh: runs the program $1 of the stand-ins for the case in folder $2.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
case_folder=$(cd "$2" && pwd)
repository=$(cd "$case_folder/../.." && pwd)
program="$repository/target/review/release/$1"
if [ ! -x "$program" ] || [ ! -x "$repository/target/release/hopyoke" ]; then
    echo "could not run: build first (deploy/service.toml, review/build.sh)" >&2
    exit 2
fi
"$program" "$repository" "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
