Feature: Routers and sidecars pass on only what belongs to the request, whole and once

  Scenario Outline: An earlier refusal that an endpoint wrote once more refuses no other call
    Given a <kind> that writes an earlier refusal once more behind its next answer
    When a sidecar sends it two calls one after the other
    Then the second call gets its own answer

    Examples:
      | kind    |
      | engine  |
      | service |
