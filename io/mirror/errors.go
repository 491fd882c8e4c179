package mirror

import "github.com/rotisserie/eris"

var errUnknownTopic = eris.New("unknown topic")

var errBusy = eris.New("too many concurrent fetches")
