package gateway

// This file tests how bodies that are read are counted.

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnsweredBodyIsNoRequestCut guards against a stop that logs a request as cut which was answered, and of whose body only the rest
// was awaited.
func TestAnsweredBodyIsNoRequestCut(t *testing.T) {
	b := newBodyReads()
	for _, answered := range []bool{false, true, true} {
		_ = b.begin(http.NewResponseController(httptest.NewRecorder()), bodyRead{time.Now(), answered}) // a recorder has no deadlines
	}
	reading, answered := b.count()
	require.Equal(t, [2]int{1, 2}, [2]int{reading, answered})
}
