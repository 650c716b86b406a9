/** The grammar of the operators' language, which `docs/LANGUAGE.md` documents. */

const KEYWORDS = [
  'ADD', 'AT', 'BUDGET', 'CHANGE', 'CHANGES', 'CONNECTIONS', 'CONTRACT', 'CONTRACTS', 'COUNTERS',
  'CREATE', 'DEADLINE', 'DEPOSIT', 'DEPOSITS', 'DRAIN', 'EJECTION', 'EVERY', 'FLOOR', 'HOLD',
  'HOLDS', 'HOST', 'HOSTS', 'IN', 'LIFT', 'OF', 'ORDER', 'PER', 'PRIORITY', 'REGION', 'REMOVE',
  'RETRY', 'RETURN', 'REVISION', 'ROUTE', 'ROUTES', 'SHOW', 'SLOT', 'SLOTS', 'TARGET', 'TARGETS',
  'WINDOW', 'WITHDRAW', 'WORKSPACE',
] as const; // prettier-ignore

function keywordRule(keyword: string): string {
  return `  k${keyword} (${keyword}) = caseInsensitive<"${keyword}"> ~wordPart`;
}

/** The grammar in the notation of ohm. */
const GRAMMAR_SOURCE = String.raw`
OperatorLanguage {
  Script = ListOf<Statement, ";"> ";"?

  Statement = Query | Command

  Query = ShowContracts | ShowContract | ShowTargets | ShowTarget | ShowHosts | ShowCounters
        | ShowRoutes | ShowChanges | ShowHolds | ShowRevision
  ShowContracts = kSHOW kCONTRACTS
  ShowContract = kSHOW kCONTRACT name
  ShowTargets = kSHOW kTARGETS OfService?
  ShowTarget = kSHOW kTARGET name OfService
  ShowHosts = kSHOW kHOSTS
  ShowCounters = kSHOW kCOUNTERS OfService?
  ShowRoutes = kSHOW kROUTES
  ShowChanges = kSHOW kCHANGES
  ShowHolds = kSHOW kHOLDS
  ShowRevision = kSHOW kREVISION
  OfService = kOF name

  Command = CreateContract | ChangeContract | WithdrawContract | DrainTarget | ReturnTarget
          | LiftHold
  CreateContract = kCREATE kCONTRACT name "{" (CreateClause ";")* "}"
  ChangeContract = kCHANGE kCONTRACT name "{" (ChangeClause ";")* "}"
  WithdrawContract = kWITHDRAW kCONTRACT name
  DrainTarget = kDRAIN kTARGET name OfService
  ReturnTarget = kRETURN kTARGET name OfService
  LiftHold = kLIFT kHOLD name OfService

  CreateClause = Setting | Target | Route
  ChangeClause = Setting | AddTarget | RemoveTarget | AddRoute | RemoveRoute
  AddTarget = kADD Target
  AddRoute = kADD Route
  RemoveTarget = kREMOVE kTARGET name
  RemoveRoute = kREMOVE kROUTE path

  Setting = Workspace | Region | Slots | Connections | Deposits | Floor | Deadline | RetryBudget
          | Ejection
  Workspace = kWORKSPACE name
  Region = kREGION name
  Slots = kSLOTS kPER kTARGET wholeNumber
  Connections = kCONNECTIONS kPER kSLOT wholeNumber
  Deposits = kDEPOSITS kPER kORDER kWINDOW wholeNumber Every?
  Every = kEVERY duration
  Floor = kFLOOR percentage
  Deadline = kDEADLINE duration
  RetryBudget = kRETRY kBUDGET percentage
  Ejection = kEJECTION caution

  Target = kTARGET name kAT address kIN name
  Route = kROUTE Methods? path RouteHost? requestClass RoutePriority? kDEPOSIT?
  Methods = NonemptyListOf<method, ",">
  RouteHost = kHOST hostName
  RoutePriority = kPRIORITY priority

  caution (swift, balanced or careful)
    = ("swift" | "balanced" | "careful") ~wordPart
  requestClass (idempotent or non-idempotent)
    = ("idempotent" | "non-idempotent") ~wordPart
  priority (high, normal or low) = ("high" | "normal" | "low") ~wordPart
  method (a method such as GET) = upper+ ~wordPart
  name (a name) = (lower | digit) nameCharacter*
  nameCharacter = lower | digit | "." | "_" | "-"
  hostName (a host name) = (alnum | "." | "-" | "*" | ":")+
  path (a path in double quotes) = "\"" "/" (~"\"" any)* "\""
  address (an address such as 127.0.0.1:8080)
    = digit+ "." digit+ "." digit+ "." digit+ ":" digit+
  wholeNumber (a whole number) = digit+
  percentage (a percentage such as 70%) = digit+ ("." digit+)? "%"
  duration (a duration such as 250ms, 5s or 1m) = digit+ unit ~wordPart
  unit = "ms" | "s" | "m" | "h"
  wordPart = alnum | "_" | "-"
  space += comment
  comment = "#" (~"\n" any)*

${KEYWORDS.map(keywordRule).join('\n')}
}
`;

export default GRAMMAR_SOURCE;
