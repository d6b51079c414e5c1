// Package design describes the administration API of eiderfold in goa's
// language. The code under gen is made from it and committed.
//
// # Usage
//
// After a change here run, in the module's root:
//
//	go tool goa gen eiderfold/design
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's language is meant to be imported this way.

var _ = API("eiderfold", func() {
	Title("Eiderfold administration")
	Description("Publishes templates and client accounts, and shows what is in force.")
	Version("1.0")
})

// TeamToken is the bearer token of a team, sent as "Authorization: Bearer TOKEN".
var TeamToken = APIKeySecurity("token", func() {
	Description("A team's bearer token; the settings say which templates it may change.")
})

// FaultBody is the body of every error of the API.
var FaultBody = ResultType("application/vnd.eiderfold.fault", func() {
	TypeName("Fault")
	ErrorName("name", String, "Kind of the error.")
	Attributes(func() {
		Attribute("name")
		Attribute("code", Int, "Numbered result code, see docs/CODES.md.", func() { Example(40) })
		Attribute("message", String, "What is wrong, with file, line and field where there is one.")
		Attribute("ours", String, "On a conflict: the change that was refused.")
		Attribute("theirs", String, "On a conflict: the change that is in force.")
		Required("name", "code", "message")
	})
})

// Revision says which change of a value is meant.
var Revision = Type("Revision", func() {
	Attribute("template", String, "Name of the template.")
	Attribute("account", String, "Client account; empty for the template itself.")
	Attribute("sequence", UInt64, "Sequence number of the shard that holds the value; grows with every change.")
	Attribute("publish_id", String, "Identifier of the publish, chosen by the publisher.")
	Attribute("publisher", String, "Team that published.")
	Attribute("shard", String, "Store value that carries it.")
	Required("template", "sequence", "publish_id", "publisher", "shard")
})

// Document is a published value with its revision.
var Document = Type("Document", func() {
	Attribute("revision", Revision)
	Attribute("source", String, "YAML source as published.")
	Required("revision", "source")
})

// ShardState is what one node holds of one shard.
var ShardState = Type("ShardState", func() {
	Attribute("node", String)
	Attribute("shard", String)
	Attribute("sequence", UInt64)
	Attribute("reachable", Boolean, "False when the node did not answer; sequence is then the last one heard.")
	Required("node", "shard", "sequence", "reachable")
})

var _ = Service("admin", func() {
	Description("Templates, client accounts and the state of the fleet.")
	Security(TeamToken)
	Error("invalid", FaultBody, "The document is refused; what was in force stays.")
	Error("conflict", FaultBody, "Somebody else changed the value first.")
	Error("forbidden", FaultBody, "The token does not carry the right.")
	Error("missing", FaultBody, "No such value.")
	Error("unavailable", FaultBody, "The store does not answer; the message says whether the change may have taken effect.")
	HTTP(func() {
		Path("/v1")
		Response("invalid", StatusUnprocessableEntity)
		Response("conflict", StatusConflict)
		Response("forbidden", StatusForbidden)
		Response("missing", StatusNotFound)
		Response("unavailable", StatusServiceUnavailable)
	})

	Method("publish_template", func() {
		Description("Publishes a template. The base sequence makes a conflict visible.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("source", String, "YAML source.")
			Attribute("file", String, "Name of the file, for error messages.")
			Attribute("publish_id", String, "Identifier chosen by the publisher; the same one again is the same change.")
			Attribute("base", UInt64, "Sequence the change was made from; 0 for whatever is in force.")
			Required("template", "source", "publish_id")
		})
		Result(Revision)
		HTTP(func() { PUT("/templates/{template}"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("list_templates", func() {
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(Revision))
		HTTP(func() { GET("/templates"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("show_template", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(Document)
		HTTP(func() { GET("/templates/{template}"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("template_history", func() {
		Description("Lists the last published versions, newest first.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(ArrayOf(Document))
		HTTP(func() { GET("/templates/{template}/history"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("set_account", func() {
		Description("Instantiates a template for a client account, or changes its parameters.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Attribute("parameters", MapOf(String, String), "Values by parameter name.")
			Attribute("publish_id", String)
			Attribute("base", UInt64)
			Required("template", "account", "publish_id")
		})
		Result(Revision)
		HTTP(func() {
			PUT("/templates/{template}/accounts/{account}")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("remove_account", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Attribute("publish_id", String)
			Required("template", "account", "publish_id")
		})
		Result(Revision)
		HTTP(func() {
			DELETE("/templates/{template}/accounts/{account}")
			Param("publish_id")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("show_account", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Required("template", "account")
		})
		Result(Document)
		HTTP(func() {
			GET("/templates/{template}/accounts/{account}")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("list_accounts", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(ArrayOf(Revision))
		HTTP(func() { GET("/templates/{template}/accounts"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("status", func() {
		Description("Shows which sequence of each shard is in force on each live node.")
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(ShardState))
		HTTP(func() { GET("/status"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("dump", func() {
		Description("Dumps the whole decision state of this node.")
		Payload(func() { APIKey("token", "token", String) })
		Result(Any)
		HTTP(func() { GET("/dump"); Header("token:Authorization"); Response(StatusOK) })
	})
})
