package standin

import (
	"fmt"
	"time"
)

// UsualWindow is the window of a key at Llanelli.
const UsualWindow = 7500 * time.Millisecond

// Settings are the settings of the example on the wire page: price-part, keyed, the key counts within a bay for the window. tellsStart
// says whether workers tell when a job starts.
func Settings(tellsStart bool, window time.Duration) string {
	progress := 0
	if tellsStart {
		progress = 2000000
	}
	return fmt.Sprintf(`{"classes":[{"aim":200000,"credit":1.0,"deadline":5000000,"dedupScope":"cell","effect":"keyed","lateWorth":0.0,"name":"price-part","stream":false,"window":%d}],
"clientHabits":{"marksRetry":false},"countedBy":"work","discovery":"ask",
"familyInfo":{"classKind":[-1],"classPriority":[0],"classStretch":[2.5],"progress":%d,"queueOrder":"fifo","reportX0":"free slots","reportX1":"free memory","tellsStart":%t},
"flavors":["new-box","old-box"],"layers":["costing-boxes"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"mostHeld":20000,"peers":false,"probing":true,"retryAfter":true,"streamsPerConn":1},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"locality":0,"ordinal":0,
"orgs":[{"fraction":0.23,"name":"deeside-aero","quotaPerS":35.0},{"fraction":0.19,"name":"gwent-pumps","quotaPerS":29.0}],"overShareWorth":0.1,
"prices":{"connection":0.0,"crossZone":0.0,"handshake":0.02,"lateFail":0.08,"probe":0.004,"waste":0.034},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3.0},
"serviceType":"jobs","tick":2000,"tier":0,"weights":"nominal","zones":["llanelli"]}`, window.Microseconds(), progress, tellsStart)
}

// Config is the file of a dispatcher.
func Config(listen, discovery, admin, known, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, discovery, admin, known, settings)
}
