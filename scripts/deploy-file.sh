# Sourced by scripts that run at the repository's root: reads `deploy_build` and `deploy_packages` from
# deploy/system.toml.
deploy_build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
mapfile -t deploy_packages < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n')
: "${deploy_build:?deploy/system.toml has no build on one line}" "${deploy_packages:?deploy/system.toml has no packages on one line}"
