package trace

import "github.com/ragwortpass/ragwortpass/wire/ragwortv1"

// ToWire converts decisions to the messages of the explain call.
func ToWire(list []Decision) []*ragwortv1.Decision {
	out := make([]*ragwortv1.Decision, len(list))
	for i, d := range list {
		out[i] = &ragwortv1.Decision{
			AtUnixUs: d.At.UnixMicro(), Node: string(d.Node), Step: d.Step, Reason: d.Reason, Detail: d.Detail,
		}
	}
	return out
}
