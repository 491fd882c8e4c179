package store_test

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/store"
	"kumquathinge/store/logfk"
)

// Two operators change the same node of the settings, both based on its first
// version. The second change is rejected, and the decision names the first
// author.
func Example() {
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	st := store.New(store.Config{
		Node: "n1", Log: logfk.New(time.Now).Client(), Logger: logger,
		Peers: func() []core.Peer { return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- st.Run(ctx) }()

	for _, author := range []string{"ana", "bo"} {
		decisions, err := st.Propose(ctx, recd.Record{By: author, Setting: &recd.Setting{
			Path: "/orgs/huellas", Key: "org.priority", Value: []byte("7"),
		}})
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(author, decisions[0].Code, decisions[0].Offset)
		if !decisions[0].Accepted() {
			fmt.Println(decisions[0].Detail)
		}
	}
	fmt.Println(st.View().Tree().Config("/orgs/huellas").Int("org.priority"))

	cancel()
	fmt.Println(<-ended)
	// Output:
	// ana 0 1
	// bo 302 2
	// /orgs/huellas was changed by ana at offset 1, this change was made from offset 0
	// 7
	// <nil>
}
