// Package coder defines the numbered results that callers and operators see.
//
// Every refusal and failure that leaves the system carries one Code. The
// number is stable, so scripts and alerts can rely on it; the text may change.
// Codes are grouped by hundreds: 1xx invalid input, 2xx authentication, 3xx
// configuration, 4xx limits and capacity, 5xx endpoints, 6xx platform, 7xx
// authority, 8xx idempotency, 9xx internal. docs/result-codes.md lists them.
package coder

// Code is the stable number of a result.
type Code int

// The result codes; docs/result-codes.md explains each.
const (
	OK Code = 0

	MalformedBody   Code = 101
	BodyTooLarge    Code = 102
	MalformedHeader Code = 103
	UnknownModel    Code = 104
	UnknownPath     Code = 105
	SlowCaller      Code = 106
	MethodNotServed Code = 107
	CallerGone      Code = 108
	CommandUsage    Code = 109
	DecisionUnknown Code = 110
	HeaderTooLarge  Code = 111
	PromptHarmful   Code = 112

	KeyMissing         Code = 201
	KeyUnknown         Code = 202
	KeyNotForRoute     Code = 203
	ViewNotCurrent     Code = 204
	OperatorCredential Code = 205

	ConfigSyntax        Code = 301
	ConfigUnknownKey    Code = 302
	ConfigBadValue      Code = 303
	ConfigDangling      Code = 304
	ConfigDuplicate     Code = 305
	ConfigConflict      Code = 306
	ConfigNotInForce    Code = 307
	ConfigFileUnknown   Code = 308
	ConfigNotLoaded     Code = 309
	ConfigMissingKey    Code = 310
	ConfigOutcomeUnsure Code = 311

	// Warnings of a valid configuration, and effects of a change on traffic. They refuse
	// nothing.

	ConfigRouteShadowed     Code = 320
	ConfigRouteDuplicate    Code = 321
	ConfigKeyUnusable       Code = 322
	ConfigDeploymentUnused  Code = 323
	ConfigLimitUnused       Code = 324
	ConfigRouteUnusable     Code = 325
	ConfigDeadlineShort     Code = 331
	ConfigNoRetryBudget     Code = 332
	ConfigBodyOverMemory    Code = 333
	ConfigQuotaSmall        Code = 334
	ConfigDrainLong         Code = 335
	ConfigRouteLost         Code = 341
	ConfigKeyStops          Code = 342
	ConfigAccessLost        Code = 343
	ConfigDeploymentChanged Code = 344
	ConfigKeyReassigned     Code = 345

	DeadlinePassed  Code = 401
	QueueFull       Code = 402
	RateLimited     Code = 403
	ConcurrencyFull Code = 404
	NoEndpoint      Code = 405
	WouldMissTime   Code = 406
	ShuttingDown    Code = 407
	ConnectionsFull Code = 408
	PromptSuspected Code = 409
	MemoryFull      Code = 410
	ListOutdated    Code = 411
	Overloaded      Code = 412
	// OtherAttemptUsed ends an attempt within the node; no caller gets it.
	OtherAttemptUsed Code = 413

	EndpointUnreachable Code = 501
	EndpointFailed      Code = 502
	AnswerCut           Code = 503
	AnswerCrossed       Code = 504
	EndpointRefused     Code = 505
	ConnectionLost      Code = 506
	EndpointReplaced    Code = 507
	AnswerLate          Code = 508
	EndpointLimited     Code = 509
	EndpointLeaving     Code = 510
	EndpointPaused      Code = 511

	PlatformUnavailable Code = 601
	PlatformConflict    Code = 602
	PlatformRefused     Code = 603
	PlatformUnsure      Code = 604
	ObjectUnknown       Code = 605
	ObjectExists        Code = 606
	RowUnknown          Code = 607
	BudgetSpent         Code = 608
	HistoryGone         Code = 609

	LeaseNotHeld  Code = 701
	StaleFencing  Code = 702
	OrderPending  Code = 703
	OrderConflict Code = 704

	ClaimInProgress    Code = 801
	ClaimOtherBody     Code = 802
	ClaimOutcomeLost   Code = 803
	ClaimUnavailable   Code = 804
	ClaimKeyMalformed  Code = 805
	ClaimAnswerNotKept Code = 806

	Internal       Code = 901
	SettingsBad    Code = 902
	NodeNotReached Code = 903
)
