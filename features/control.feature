Feature: A catalogue that never reverts

  Scenario Outline: Properties of the deciding functions
    Then the property "<property>" holds

    Examples:
      | property                              |
      | consensus.log_never_reverts           |
      | consensus.group_repairs_itself        |
      | consensus.second_loss_right_after_a_repair |
      | consensus.quorum                      |
      | consensus.torn_log_never_votes        |
      | consensus.short_log_never_leads       |
      | consensus.second_loss_after_repair    |
      | consensus.silent_leader_steps_down    |
      | consensus.return_needs_no_election    |
      | storage.scan                          |
      | storage.full_disk                     |
      | catalogue.applied_whole_or_not_at_all |
      | catalogue.one_of_two_racers_wins      |
      | catalogue.resend_returns_first_outcome |
      | catalogue.delta_or_snapshot_agree     |
      | subscription.never_steps_back         |
      | leases.lost_only_after_silence        |
      | messages.round_trip                   |
      | messages.foreign_values               |
      | streams.unread_messages_are_kept      |
      | streams.unread_silence_is_noticed     |
      | streams.away_reader_is_not_late       |
      | streams.dark_peer_is_given_up_soon    |
      | input.what_is_not_json_is_refused     |
      | codec.accepted_messages_are_sent_on   |
      | codec.conversions_are_refused         |
      | consensus.unencodable_change_stops_nothing |
      | consensus.leader_that_cannot_write_resigns |
      | consensus.long_queue_is_no_stuck_writer    |
      | consensus.failing_rule_refuses_its_change  |
      | tasks.guarded_loop_is_started_again   |
      | tasks.loop_that_keeps_failing_ends_the_process |
      | orders.last_acknowledged_order_wins   |
      | orders.expired_order_is_not_appended  |
      | orders.converted_time_is_never_late   |
      | orders.queued_connection_is_old       |
      | orders.late_leave_ends_no_later_run   |

  Scenario Outline: Changes survive a leader that is "<fault>"
    Given a control deployment
    When 10 changes are accepted
    And the leader is "<fault>"
    And 10 changes are accepted
    And the fault ends
    And 5 changes are accepted
    Then all accepted changes are in force in every process
    And every controller holds all accepted changes

    Examples:
      | fault            |
      | killed           |
      | frozen           |
      | cut off          |
      | cut off one way  |
      | unable to answer |

  Scenario: A controller that was cut off causes no election when it returns
    Given a control deployment
    When a follower is "cut off" for 5 seconds
    Then the leader and its term are as before
    And all accepted changes are in force in every process

  Scenario: Subscribers leave a controller that is cut off from the others
    Given a control deployment
    When a controller with subscribers is cut off from the other controllers
    And 5 changes are accepted
    Then all accepted changes are in force in every process

  Scenario: A lost data folder is repaired, and a second loss right after loses nothing
    Given a control deployment
    When 10 changes are accepted
    And controller "controller-2" loses its data folder
    Then "controller-2" is no voter
    When the operator repairs "controller-2"
    And controller "controller-1" loses its data folder
    Then every voter holds all accepted changes
    When the operator repairs "controller-1"
    And 5 changes are accepted
    Then every controller holds all accepted changes

  Scenario Outline: A log that is "<damage>" is noticed and filled again
    Given a control deployment
    When 10 changes are accepted
    And the log of a follower is "<damage>"
    And 5 changes are accepted
    Then every controller holds all accepted changes
    And no controller is damaged any more

    Examples:
      | damage      |
      | torn        |
      | bit-flipped |

  Scenario: Of two operators who edit one version exactly one wins
    Given a control deployment
    When two operators edit the same version 20 times at once
    Then each time one was accepted and the other saw the version in force

  Scenario: A resend returns the first outcome from any controller, after restart and snapshot
    Given a control deployment with a snapshot every 10 records
    When 15 changes are accepted
    And all controllers are restarted
    Then each change sent again to any controller returns its first outcome

  Scenario: A process that hundreds of changes have passed by catches up
    Given a control deployment with a snapshot every 50 records
    When "balancer-1" is frozen while 300 changes are accepted
    Then all accepted changes are in force in every process

  Scenario: The group grows from one to three and shrinks again
    Given a control deployment of one controller that others can join
    When 3 changes are accepted
    And the operator adds "controller-2" and "controller-3"
    And 3 changes are accepted
    Then every controller holds all accepted changes
    When the operator removes "controller-1"
    Then the change of members is refused when it would lose the quorum
    And 3 changes are accepted again

  Scenario: An unknown operator is refused and entered in the audit trail
    Given a control deployment
    When an operator with a wrong key sends a change
    Then the change is refused and the audit trail tells of it

  Scenario Outline: A wrong entry is refused whole with the field named
    Given a control deployment
    When the operator edits "price-board" setting "<field>" to "<value>"
    Then the command ends with status 4 and names "<named>"
    And the audit trail shows a refusal that names "<named>"
    And entry "price-board" is as before

    Examples:
      | field           | value          | named      |
      | open-flows      | -1             | open_flows |
      | open-flows      | 99999999999    | open_flows |
      | traffic-class   | gold           | class      |
      | address         | 10.77.0.300:1  | address    |
      | address         | 10.77.0.5:4000 | address    |
      | owner           | no/such        | owner      |

  Scenario Outline: A frozen <role> executes no order whose caller has turned elsewhere: <first>, <end>
    Given three controllers of the platform with a configuration
    When a domain is "<first>" and a frozen <role> holds an order to set it "<second>"
    And the domain is "<first>" again before the caller of the held order has "<end>"
    Then the held order is refused, and the domain stays "<first>"

    Examples:
      | role     | first | second | end    |
      | follower | out   | in     | closed |
      | follower | out   | in     | stayed |
      | follower | in    | out    | stayed |
      | leader   | out   | in     | stayed |
      | leader   | in    | out    | closed |

  Scenario: A frozen controller executes no change whose operator has given up
    Given a control deployment
    When a frozen controller holds a change that creates an entry for 4.6 seconds
    And the entry is created and deleted through the others, and the controller goes on
    Then the entry does not exist, and the held change was refused
