// Package clocktest makes the times that a process reads when the system time is stepped.
package clocktest

import (
	"fmt"
	"time"
	"unsafe"
)

// wallSecondsShift is where a time.Time with a monotonic reading keeps its seconds.
const wallSecondsShift = 30

// Step returns what time.Now would have returned in place of t, one of its results, if the
// system time had been stepped by d, in whole seconds, before. The monotonic reading is that of
// t. Step panics if time.Time is laid out in another way than is known here.
func Step(t time.Time, d time.Duration) time.Time {
	stepped := t
	layout := (*struct {
		wall uint64
		ext  int64
		loc  *time.Location
	})(unsafe.Pointer(&stepped))
	layout.wall += uint64(d/time.Second) << wallSecondsShift
	if moved := stepped.Round(0).Sub(t.Round(0)); moved != d || !stepped.Equal(t) {
		panic(fmt.Sprintf("clocktest: %v was moved by %v, not %v", t, moved, d))
	}
	return stepped
}
