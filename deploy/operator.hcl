# An operator's file: a block for each part of brassdale that the platform does not ask for. What has no block is off.
# `brassdale check FILE` tells what is wrong with a file, or what would be in force; start with
# `brassdale serve --operator deploy/operator.hcl`.

# Clients that speak HTTP/2, on an address of its own. docs/http2.md has the rest of its settings.
front "http2" {
  listen  = "127.0.0.1:8481" # off loopback only with a tls block, or cleartext = true
  streams = 128              # concurrent on one connection
}

# Server-sent events for clients that watch their jobs.
front "progress" {
  listen   = "127.0.0.1:8480" # an address of its own; off loopback only with cleartext = true
  upstream = "lines"          # how endpoints tell of a job: "lines" (the platform's JSON) or "events"
}

# What is remembered of Idempotency-Keys, over all fronts: who comes with the key of a job that is known joins it.
keys {
  jobs    = 8192 # most at a time; past it new ones are refused
  keep_mb = 24   # and most memory for their answers
}

# The list of workers on disk, for a start while discovery cannot be reached (docs/endpoint-cache.md). Off without the block.
#
# saved_list {
#   directory = "/var/lib/brassdale"
#   oldest    = "72h"
#   shrink    = 0.5
# }

# Second copies and repeats of all jobs together: at most so many for each first call (docs/large-fleets.md). Off without
# the block.
#
# fleet {
#   retry_budget = 0.2
# }

# Accounts' shares of the jobs that are open at a time, over all fronts. Off without the block.
#
# accounts {
#   room = 256
#   account "deeside-aero" { share = 0.23 }
#   account "gwent-pumps" { share = 0.19 }
# }

# Dispatchers that agree on rules (docs/agreement.md). Off without the block; for installations whose dispatchers may reach
# one another.
#
# council {
#   fleet     = "llanelli"
#   listen    = "127.0.0.1:7400"
#   voters    = ["127.0.0.1:7400", "127.0.0.1:7401", "127.0.0.1:7402"]
#   seat      = 1
#   directory = "/var/lib/brassdale/fleet"
#   bound     = "2s"
#   replace   = "30s"
#   rules     = "rules.hcl"
# }

# What all dispatchers together may do (docs/overload.md). Off without the block; needs the one above.
#
# overload {
#   retries = 0.1
#   probes  = 40
# }

# Where zones' jobs are served, decided by the council (docs/failover.md). Off without the block; needs the one above.
#
# failover {
#   region "north" { zones = ["llanelli", "swansea"] }
#   region "south" { zones = ["bristol", "cardiff"] }
#   headroom  = 0.15
#   return_in = "60s"
#   alone     = "10s"
# }
