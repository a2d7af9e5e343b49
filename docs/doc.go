// Package docs holds the project's pages and a test that keeps them complete.
package docs
