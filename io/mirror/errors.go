package mirror

import "github.com/rotisserie/eris"

var errUnknown = eris.New("no such topic")

var errBusy = eris.New("other nodes fetch their pages")
