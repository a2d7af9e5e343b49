package signals

// This file ignores SIGHUP from before Go's runtime starts, in programs that are linked with cgo, until init
// registers it. A SIGHUP asks for the settings to be read again, and until then they were not read.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
