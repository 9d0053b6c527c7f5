Feature: The whole answer to its own caller, at most once, and true refusals

  Scenario Outline: Properties of the deciding functions
    Then the property "<property>" holds

    Examples:
      | property                             |
      | requests.retry_only_when_safe        |
      | requests.final_refusal_is_honest     |
      | requests.budget_bounds_retries       |
      | requests.foreign_headers             |
      | requests.every_cause_has_a_status    |
      | requests.no_state_is_not_unknown     |
      | requests.slots_never_exceeded        |
      | requests.class_ranks_the_queue       |
      | requests.higher_class_displaces      |
      | requests.key_runs_at_most_once       |
      | requests.single_losses_lose_no_key   |
      | requests.key_time                    |
      | requests.known_outcome_stays         |
      | requests.released_key_is_not_echoed  |
      | requests.owner_frees_a_released_key  |
      | requests.owner_tells_a_known_outcome |
      | requests.silent_agents_lose_no_key  |
      | requests.silent_agents_are_waited_for |
      | requests.unfinished_transfer_is_not_trusted |
      | requests.former_home_records_no_key |

  Scenario Outline: Orders run at most once and refusals are true, though "<fault>"
    Given a small deployment with flows and requests
    When orders and other requests run for 12 seconds while "<fault>"
    Then no order ran twice, no "ran: no" was false, and no answer was crossed
    And requests are answered again

    Examples:
      | fault                                   |
      | a balancer is killed                    |
      | an agent is killed and restarted        |
      | an agent and its target are killed      |
      | an agent is frozen and resumed          |
      | a target is frozen and resumed          |
      | a target is killed and restarted        |
      | a domain goes out and comes back        |
      | agents are killed one after the other   |
      | a balancer is killed and restarted      |

  Scenario Outline: A planned stop cuts no request: "<stop>"
    Given a small deployment with flows and requests
    When orders and other requests run for 10 seconds while "<stop>"
    Then no order ran twice, no "ran: no" was false, and no answer was crossed
    And no request was cut or lost

    Examples:
      | stop                                 |
      | a target drains by the operator      |
      | a target stops gracefully            |
      | a balancer stops gracefully          |
      | an agent stops gracefully and starts |

  Scenario: A resent order returns the first answer from any balancer
    Given a small deployment with flows and requests
    When one order is sent 6 times through all balancers
    Then each answer is the same and the order ran once

  Scenario: A key that is used for another request is refused
    Given a small deployment with flows and requests
    When a key is used for two different orders
    Then the second is refused with status 422, cause "key-reused" and ran "no"

  Scenario: Large answers arrive whole, or are plainly cut
    Given a small deployment that is warm
    When 8 answers of 20 MB are read at once
    Then all of them are whole
    When an answer of 20 MB is read slowly and its target is killed
    Then the answer is plainly cut

  Scenario: A deadline that has passed stops work, and a cancelled request frees its slot
    Given a small deployment that is warm
    When the only target of "intake" is busy and a request with a deadline of 300 ms waits
    Then it is refused with cause "deadline" and ran "no", and never ran
    When 3 long requests are cancelled by their callers
    Then the target counts 3 cancelled, and its slots are free again

  Scenario: Slots are never exceeded and classes rank
    Given a small deployment that is warm
    When 60 callers at once ask the targets of "ordering"
    Then no target ran more requests at once than it has slots
    And requests are answered again

  Scenario: A cold target gets no more than it bears
    Given a small deployment whose targets start cold
    When 30 callers at once ask the targets of "ordering"
    Then no target fell over

  Scenario: Targets of a domain that comes back cold get no more than they bear
    Given a small deployment that is warm
    When load runs while domain "luzon-b" goes out and its targets come back cold for 8 seconds
    Then no target fell over
    And the targets of domain "luzon-b" serve again

  Scenario: A target that turns cold while its load report lies gets no more than it bears
    Given a small deployment that is warm
    When load runs while "ordering-4" turns cold for 6 seconds and reports no load
    Then "ordering-4" fell over at most once and serves its share in the end

  Scenario: An owner's limit of requests in flight holds over all agents together
    Given a small deployment that is warm
    When the operator limits "intake" to 2 requests in flight
    And 12 long requests to "intake" run at once
    Then never more than 2 ran at once, and the others were refused naming "requests_in_flight"

  Scenario Outline: Bad input is refused with a reason: "<input>"
    Given a small deployment with flows and requests
    Then input "<input>" is answered with status <status> and ran "no"

    Examples:
      | input                | status |
      | unknown service      | 404    |
      | malformed request    | 400    |
      | huge header          | 431    |
      | huge body            | 413    |
      | malformed key        | 400    |
      | malformed deadline   | 400    |

  Scenario: A slow sender holds no balancer
    Given a small deployment with flows and requests
    When 40 senders send one byte a second
    And 20 requests are sent to "orders"
    Then all requests were answered whole by their own target
