package mirror

import "github.com/rotisserie/eris"

var errUnknownTopic = eris.New("no such topic")

var errBusy = eris.New("other nodes fetch their pages")
