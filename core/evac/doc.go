// Package evac decides which availability zones are evacuated: taken out of service by
// operators through the keyed topic of the store.
//
// A record requests the evacuation of a zone, its removal ends it. When the store comes
// back from an older copy of its content, the copy may lack a record that was known, or
// hold one whose removal was known. A State keeps what it knew then, until a record or a
// removal that was written after the return says otherwise.
package evac
