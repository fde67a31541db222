# An operator's file: a block for each part of brassdale that the platform does not require. A part without a block is off.
# `brassdale check FILE` prints the mistakes in a file, or the settings that would be in force. To start with this file:
# `brassdale serve --operator deploy/operator.hcl`.

# HTTP/2 for clients, on a separate address. docs/http2.md has its other settings.
front "http2" {
  listen  = "127.0.0.1:8481" # an address other than loopback needs a tls block or cleartext = true
  streams = 128              # concurrent streams of a connection
}

# Server-sent events for clients that watch their jobs.
front "progress" {
  listen   = "127.0.0.1:8480" # a separate address; one other than loopback needs cleartext = true
  upstream = "lines"          # how endpoints report on a job: "lines" (the platform's JSON) or "events"
}

# Idempotency keys, over all fronts: a request with the Idempotency-Key of a known job joins that job.
keys {
  jobs    = 8192 # maximum number of known jobs at a time; beyond it, new ones are rejected
  keep_mb = 24   # maximum size of their events and answers, in MiB
}

# The endpoint list on disk, for a start while discovery is unreachable (docs/endpoint-cache.md). Off without the block.
#
# saved_list {
#   directory = "/var/lib/brassdale"
#   oldest    = "72h"
#   shrink    = 0.5
# }

# Hedged attempts and retries of all jobs together: at most this many for each first attempt (docs/large-fleets.md). Off
# without the block.
#
# fleet {
#   retry_budget = 0.2
# }

# Accounts' shares of the jobs that may be open at a time, over all fronts. Off without the block.
#
# accounts {
#   room = 256
#   account "deeside-aero" { share = 0.23 }
#   account "gwent-pumps" { share = 0.19 }
# }

# Dispatchers that agree on rules (docs/agreement.md). Off without the block. Only for installations whose dispatchers can
# reach each other.
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

# Limits for all dispatchers together (docs/overload.md). Off without the block; needs the council block.
#
# overload {
#   retries = 0.1
#   probes  = 40
# }

# In which zones jobs are served, as the fleet decides (docs/failover.md). Off without the block; needs the council block.
#
# failover {
#   region "north" { zones = ["llanelli", "swansea"] }
#   region "south" { zones = ["bristol", "cardiff"] }
#   headroom  = 0.15
#   return_in = "60s"
#   alone     = "10s"
# }
