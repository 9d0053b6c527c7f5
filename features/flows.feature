Feature: Nothing planned breaks a flow, and no target gets more than it can bear

  Scenario Outline: Properties of the deciding functions
    Then the property "<property>" holds

    Examples:
      | property                          |
      | flows.owner_stays                 |
      | flows.unknown_home_learns_owner   |
      | flows.restarted_owner_keeps_flows |
      | flows.new_home_asks_recorders     |
      | flows.restarted_home_knows_it_is_behind |
      | flows.early_word_is_not_believed  |
      | flows.probes_do_not_grow_with_packets |
      | flows.owner_answers_an_unknown_home |
      | flows.peer_that_was_heard_is_not_dead |
      | flows.reachable_owner_is_not_dead |
      | flows.admission_is_safe           |
      | flows.cold_limit_grows            |
      | flows.rate_never_exceeded         |
      | flows.pulse_notices_coldness      |
      | flows.cold_target_stays_cold      |
      | flows.slow_target_is_learnt       |
      | limits.never_exceeded             |
      | limits.whole_limit_is_usable      |
      | buckets.only_moved_where_needed   |
      | packets.udp_round_trip            |
      | packets.refusal_round_trip        |
      | packets.reset_answers_any_flow    |
      | packets.label_round_trip          |
      | packets.foreign_bytes             |
      | packets.damaged_packet            |
      | packets.unknown_critical_option   |
      | announcements.foreign_bytes       |

  Scenario Outline: A walk of restarts moves no flow, seed <seed>
    Then a walk of restarts with seed <seed> moves no established flow

    Examples:
      | seed |
      | 112  |
      | 118  |
      | 121  |
      | 123  |
      | 124  |
      | 126  |
      | 131  |
      | 202  |
      | 231  |

  Scenario: A flow whose first packet was delivered survives its agent
    Then the property "flows.answered_flow_survives_its_agent" holds

  Scenario Outline: Established flows survive "<event>"
    Given a small deployment with flows and requests
    When 60 flows are opened
    And flows run through "<event>"
    Then 60 flows are open and none broke

    Examples:
      | event                                |
      | a target drains                      |
      | an agent restarts as planned         |
      | an agent is killed and restarted     |
      | a balancer restarts                  |
      | a balancer is frozen and resumed     |
      | all controllers are killed           |
      | an agent is frozen for a moment      |

  Scenario: An agent that is cut off from the controllers keeps its flows
    Given a small deployment with links to its controllers
    When 60 flows are opened
    And "ordering-2" is cut off from the controllers for 9 seconds while flows run
    Then 60 flows are open and none broke

  Scenario: Flows live on through 300 table changes, with balancers and agents restarting
    Given a small deployment with spare agents
    When 60 flows are opened
    And spare targets join and leave until 300 table changes have passed
    Then 60 flows are open and none broke

  Scenario: A lost VM ends its own flows with a word, and no others
    Given a small deployment with flows and requests
    When 60 flows are opened
    And the VM of target "ordering-2" is lost while flows run
    Then only the flows of "ordering-2" ended, and their callers were told

  Scenario Outline: A domain that is out gets no packet, though "<who>" is cut off from the controllers
    Given a small deployment with links to its controllers
    When 60 flows are opened
    And "<who>" is cut off from the controllers while domain "luzon-b" goes out
    Then the targets of domain "luzon-b" get no more packets
    And only flows of domain "luzon-b" were given up, and their callers were told

    Examples:
      | who        |
      | nobody     |
      | balancer-1 |
      | ordering-2 |

  Scenario: A balancer that no controller reaches follows the state through an agent
    Given a small deployment with links to its controllers
    When "balancer-1" is cut off from the controllers and domain "luzon-b" goes out
    Then "balancer-1" has the newest version in force, by its own word

  Scenario Outline: Connections to the <what> that go silent for good are replaced
    Given a small deployment with links to its controllers
    When 60 flows are opened
    And all open connections to the <what> go silent for good, while flows and orders run
    Then 60 flows are open and none broke
    And every silent connection was replaced, and each process has the newest version in force
    And no order ran twice, no "ran: no" was false, and no answer was crossed
    And requests are answered again

    Examples:
      | what        |
      | agents      |
      | controllers |

  Scenario: A reused service address never brings packets to the former service
    Given a small deployment with flows and requests
    When 30 flows are opened
    And the entry of the flows is deleted and its address given to "inspection"
    Then no target of "ordering" gets a packet that was sent later

  Scenario: A balancer with an old table brings no packet to the former service
    Given a small deployment with flows and requests
    When 30 flows are opened
    And the address is given to "inspection" while "balancer-1" is frozen, which then goes on
    Then no target of "ordering" has got a packet since then

  Scenario: An owner's limit of open flows holds over all agents together
    Given a small deployment with flows and requests
    When the operator limits "price-board" to 25 open flows
    And 40 flows are tried
    Then 25 flows are open, and 15 were refused naming "price-board" and "open_flows"
    When target "ordering-1" drains
    And 10 flows are tried
    Then at most 25 flows are open

  Scenario: An owner's limit of new flows holds in each second
    Given a small deployment with flows and requests
    When the operator limits "price-board" to 8 new flows a second
    And 80 flows are tried within 2 seconds
    Then no second saw more than 8 new flows accepted

  Scenario: Foreign bytes are counted and dropped, and stop no process
    Given a small deployment with flows and requests
    When 10 flows are opened
    And random bytes are sent to every packet address and every listener
    Then 10 flows are open and none broke
    And "balancer-1" serves a metric "lentilcourse_packets_malformed_total" above 0
