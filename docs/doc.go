// Package docs holds the project's documentation and the tests that check it against the
// source.
package docs
