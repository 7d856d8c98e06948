package jobs

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
)

// maxIDBytes is the maximum length of the ID of an item, in bytes.
const maxIDBytes = 256

// validateItems returns an error, with the position of the item from 0, if an item cannot be
// sent as a request or holds a header that is not the caller's to set.
func (s *Service) validateItems(items []Item) error {
	for i := range items {
		if err := validateItem(&items[i], s.Codec); err != nil {
			return fmt.Errorf("item %d: %w", i, err)
		}
	}
	return nil
}

func validateItem(item *Item, codec Codec) error {
	if len(item.ID) > maxIDBytes || !exchange.ValidTarget(item.ID) || !isASCII(item.ID) {
		return fmt.Errorf("the id %.40q is not a word of 1 to %d ASCII characters", item.ID, maxIDBytes)
	}
	if err := validatePath(item.Path); err != nil {
		return fmt.Errorf("the path %.200q is not one: %w", item.Path, err)
	}
	seen := map[string]bool{}
	for name, value := range item.Header {
		canonical := http.CanonicalHeaderKey(name)
		switch {
		case !httpguts.ValidHeaderFieldName(name):
			return fmt.Errorf("the header name %.80q is not valid", name)
		case !httpguts.ValidHeaderFieldValue(value):
			return fmt.Errorf("the value %.80q of the header %s is not valid", value, name)
		case exchange.IsOwnHeader(name) || codec.IsReservedHeader(canonical):
			return fmt.Errorf("the header %s is set by the system", name)
		case seen[canonical]:
			return fmt.Errorf("the header %s occurs twice", name)
		}
		seen[canonical] = true
	}
	return nil
}

// validatePath checks the path of a request, with its query.
func validatePath(path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return errors.New("no slash at its beginning")
	case !exchange.ValidTarget(path) || !isASCII(path):
		return errors.New("it has spaces, control characters or characters beyond ASCII")
	case strings.Contains(path, "#"):
		return errors.New("it has a fragment")
	}
	_, err := url.ParseRequestURI(path)
	return err
}

func isASCII(s string) bool { return !strings.ContainsFunc(s, func(r rune) bool { return r >= 0x80 }) }
