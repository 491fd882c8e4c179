package check

import (
	"fmt"
	"unicode/utf8"
)

// Only keys of at least minKeyShown characters are shown by their first keyPrefix
// characters, so that most of a key stays secret.
const (
	minKeyShown = 16
	keyPrefix   = 4
)

func (cmpr *comparer) orgs() {
	oldOwners, newOwners := cmpr.before.keys(), cmpr.after.keys()
	matchItems(cmpr.before.Orgs, cmpr.after.Orgs, func(org *Org) string { return org.Name.Val },
		func(org *Org) {
			cmpr.add(KindRemoved, org.Place, orgName(org), org.summary(), "", impact{})
			cmpr.keys(org, &Org{}, oldOwners, newOwners)
		},
		func(org *Org) {
			imp := impact{}
			if len(cmpr.before.Orgs) == 0 {
				imp = impact{EffectTakesAccess, "there were no organisations; from now on requests without a key are refused"}
			}
			cmpr.add(KindAdded, org.Place, orgName(org), "", org.summary(), imp)
			cmpr.keys(&Org{}, org, oldOwners, newOwners)
		},
		func(before, after *Org) {
			cmpr.fields(orgName(after), before.Object, after.Object, nil)
			cmpr.keys(before, after, oldOwners, newOwners)
		})
}

func orgName(org *Org) string { return fmt.Sprintf("organisation %q", org.Name.Val) }

// keys returns the name of the organisation that holds each key. The last one counts,
// as for the nodes.
func (doc *Document) keys() map[string]string {
	out := make(map[string]string)
	for _, org := range doc.Orgs {
		for _, key := range org.Keys {
			out[key.Val] = orgName(&org)
		}
	}
	return out
}

// keys compares the keys of two versions of an organisation. The owners are those of
// the keys of both documents.
func (cmpr *comparer) keys(before, after *Org, oldOwners, newOwners map[string]string) {
	matchItems(before.Keys, after.Keys, func(key *Value[string]) string { return key.Val },
		func(key *Value[string]) {
			cmpr.add(KindRemoved, key.Place, orgName(before), maskKey(key.Val), "", cmpr.keyRemoved(newOwners[key.Val]))
		},
		func(key *Value[string]) {
			cmpr.add(KindAdded, key.Place, orgName(after), "", maskKey(key.Val), keyAdded(oldOwners[key.Val]))
		},
		func(_, _ *Value[string]) {})
}

func (cmpr *comparer) keyRemoved(owner string) impact {
	switch {
	case len(cmpr.after.Orgs) == 0:
		return impact{EffectOpensAccess, "there are no organisations any more; requests need no key"}
	case owner == "":
		return impact{EffectTakesAccess, "requests with the key are refused"}
	}
	return impact{EffectTraffic, "requests with the key count for the " + owner}
}

func keyAdded(owner string) impact {
	if owner == "" {
		return impact{}
	}
	return impact{EffectTraffic, "requests with the key counted for the " + owner}
}

// maskKey returns a text that tells keys apart without showing them.
func maskKey(key string) string {
	count := utf8.RuneCountInString(key)
	if count < minKeyShown {
		return fmt.Sprintf("(%d characters)", count)
	}
	return fmt.Sprintf("%s... (%d characters)", string([]rune(key)[:keyPrefix]), count)
}
