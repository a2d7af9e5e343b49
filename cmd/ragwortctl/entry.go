package main

// This file defines how commands call the operators' pages of an entry.

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/process"
)

// entryTimeout bounds one call to an entry.
const entryTimeout = 5 * time.Second

// callEntry calls an entry and returns the body of its answer.
func callEntry(method, entry, path string, header http.Header) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+entry+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	maps.Copy(request.Header, header)
	response, err := (&http.Client{Transport: process.NewExternalClient().Transport, Timeout: entryTimeout}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read the answer of %s: %w", entry, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("entry %s answered %s: %s", entry, response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
